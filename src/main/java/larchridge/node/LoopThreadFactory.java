package larchridge.node;

import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Creates the thread of the event loop and reports its end on that thread. Guards against: if an
 * error ends the thread, the process would stay and hold its port without serving anything. The
 * report allocates nothing, since an exhausted heap may be what ended the thread.
 */
final class LoopThreadFactory extends DefaultThreadFactory {
    private static final String POOL_NAME = "event-loop";

    private final Runnable onThreadEnd;

    /**
     * @param onThreadEnd runs on each thread when its work has ended, normally or with an error
     */
    LoopThreadFactory(Runnable onThreadEnd) {
        super(POOL_NAME);
        this.onThreadEnd = onThreadEnd;
    }

    @Override
    public Thread newThread(Runnable work) {
        return super.newThread(
                () -> {
                    try {
                        work.run();
                    } finally {
                        onThreadEnd.run();
                    }
                });
    }
}
