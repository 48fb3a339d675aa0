package larchridge.cli;

import java.util.concurrent.Callable;
import larchridge.node.NodeMain;
import larchridge.node.NodeTrainingRun;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line. Exit codes: 0 done, 1 failed, 2 called wrongly, 3 a rule was broken. */
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
            // The bench counts an adapter's start; nothing else is loaded for it.
            System.exit(BenchlinkCommand.run(System.in, System.out));
        }
        if (args.length == 1 && args[0].equals("node")) {
            // A node's memory and start are counted too.
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

    /** The version that the jar was built as. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"larchridge " + (version == null ? "(unpackaged)" : version)};
        }
    }
}
