package larchridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

@Command(name = "drill", mixinStandardHelpOptions = true)
final class DrillCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 2;
    }
}
