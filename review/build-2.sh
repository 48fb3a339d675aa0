#!/bin/sh
# Builds the stand-ins and the drivers of cases 6 to 10 into target/review-2, with the JDK alone. Run after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 -d target/review-2 review/stand-ins-2/*.java
