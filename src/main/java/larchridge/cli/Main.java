package larchridge.cli;

import java.util.concurrent.Callable;
import larchridge.node.NodeMain;
import larchridge.node.NodeTrainingRun;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line. Exit codes: 0 success, 1 failure, 2 invalid usage, 3 a rule was violated. */
@Command(
        name = "larchridge",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description =
                "A router for language-model serving with reading and writing on separate engines.",
        subcommands = {
            ServeCommand.class,
            DemoCommand.class,
            EngineCommand.class,
            CheckCommand.class,
            SystemTestCommand.class,
            LoadCommand.class,
            SoakCommand.class,
            ExperimentCommand.class,
            SearchCommand.class,
            BillCommand.class,
            LedgerCommand.class,
            StoreCommand.class,
            CrashTestCommand.class,
            FaultInjectionCommand.class,
            BenchlinkCommand.class,
            NodeCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main implements Callable<Integer> {
    @Spec private CommandSpec spec;

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("benchlink")) {
            // The bench measures the startup of this process, so no other classes are loaded.
            System.exit(BenchlinkCommand.run(System.in, System.out));
        }
        if (args.length == 1 && args[0].equals("node")) {
            // Memory use and startup time of a node are measured too.
            System.exit(NodeMain.run(System.getenv(), System.err));
        }
        if (args.length == 2 && args[0].equals("node") && args[1].equals("training-run")) {
            System.exit(NodeTrainingRun.run());
        }
        int code =
                new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
        System.exit(code);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return 2;
    }

    /** Reads the version from the manifest of the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"larchridge " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
