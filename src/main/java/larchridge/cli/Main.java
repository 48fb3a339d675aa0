package larchridge.cli;

import java.io.IOException;
import larchridge.benchlink.BadLine;
import larchridge.benchlink.Link;

/** The command line. */
public final class Main {
    private static final String USAGE = """
            usage: larchridge benchlink     decide for the fronts of a bench, over standard input and output
                   larchridge --help        print this text
                   larchridge --version     print the version""";

    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        if (args.length != 1) {
            System.err.println(USAGE);
            return 2;
        }
        switch (args[0]) {
            case "--help":
                System.out.println(USAGE);
                return 0;
            case "--version":
                String version = Main.class.getPackage().getImplementationVersion();
                System.out.println("larchridge " + (version == null ? "(unpackaged)" : version));
                return 0;
            case "benchlink":
                try {
                    new Link(System.in, System.out).run();
                    return 0;
                } catch (BadLine e) {
                    System.err.println("larchridge: " + e.getMessage());
                    return 1;
                } catch (IOException e) {
                    System.err.println("larchridge: the wire broke: " + e.getMessage());
                    return 1;
                }
            default:
                System.err.println(USAGE);
                return 2;
        }
    }
}
