package larchridge.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * The log's form: one JSON object a line on standard error, the program's own lines from the level
 * that {@code LARCHRIDGE_LOG} names (INFO), others' from WARN. In code, since reading it from XML
 * took a third of a node's start; where {@code logback.configurationFile} names a file, that is
 * used instead.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (System.getProperty("logback.configurationFile") != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> err = new ConsoleAppender<>();
        err.setContext(context);
        err.setName("err");
        err.setTarget("System.err");
        err.setEncoder(encoder);
        err.start();
        context.getLogger("ROOT").addAppender(err);
        context.getLogger("ROOT").setLevel(Level.WARN);
        context.getLogger("larchridge")
                .setLevel(Level.toLevel(System.getenv("LARCHRIDGE_LOG"), Level.INFO));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
