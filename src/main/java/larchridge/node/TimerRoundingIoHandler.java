package larchridge.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/**
 * Rounds an event loop's wait for its next timer up to whole milliseconds. Netty's NIO handler
 * rounds to the nearest millisecond: with less than half a millisecond left it polls its selector
 * without blocking, iteration after iteration, until the timer is due. On a small CPU share, this
 * polling would take most of the CPU time and delay responses.
 */
final class TimerRoundingIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler handler;

    /**
     * Creates a handler that rounds waits up and delegates everything else to the given handler.
     */
    TimerRoundingIoHandler(IoHandler handler) {
        this.handler = handler;
    }

    /** Returns a factory that wraps the handlers of another factory. */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new TimerRoundingIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext context) {
        return handler.run(new RoundedUpContext(context));
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }

    /** The event loop's context, with the delay until the next timer rounded up. */
    private record RoundedUpContext(IoHandlerContext context) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            long delay = context.delayNanos(currentTimeNanos);
            if (delay <= 0 || delay > Long.MAX_VALUE - NANOS_PER_MILLISECOND) {
                return delay;
            }
            return (delay + NANOS_PER_MILLISECOND - 1)
                    / NANOS_PER_MILLISECOND
                    * NANOS_PER_MILLISECOND;
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
