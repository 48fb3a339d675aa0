package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoEvent;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectableChannel;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A node whose event loop ends with an error. */
@Timeout(30)
class EventLoopFailureTest {
    @TempDir Path folder;

    /** Fails with an error, as an exhausted heap does, when its pipe becomes readable. */
    private record FailingHandle(Pipe pipe) implements NioIoHandle {
        @Override
        public SelectableChannel selectableChannel() {
            return pipe.source();
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            throw new OutOfMemoryError("thrown by a test");
        }

        @Override
        public void close() throws IOException {
            pipe.source().close();
        }
    }

    /** Failed before: the process waited for its shutdown for ever and kept its port. */
    @Test
    void nodeWhoseEventLoopEndsTerminatesAndSaysSo() throws Exception {
        NodeFixture fixture = new NodeFixture(folder);
        CountDownLatch reported = new CountDownLatch(1);
        fixture.node.onLoopFailure(reported::countDown);
        Pipe pipe = Pipe.open();
        pipe.source().configureBlocking(false);
        IoRegistration registration =
                ((IoEventLoop) fixture.node.loop()).register(new FailingHandle(pipe)).get();
        registration.submit(NioIoOps.READ);
        pipe.sink().write(ByteBuffer.wrap(new byte[1]));
        assertTrue(reported.await(10, TimeUnit.SECONDS));
        fixture.node.awaitTermination();
        assertTrue(fixture.node.hasLoopFailed());
        fixture.close();
    }

    @Test
    void shutdownIsNoFailureOfTheEventLoop() throws Exception {
        NodeFixture fixture = new NodeFixture(folder);
        CountDownLatch reported = new CountDownLatch(1);
        fixture.node.onLoopFailure(reported::countDown);
        fixture.close();
        assertTrue(fixture.node.loop().isShuttingDown());
        assertEquals(1, reported.getCount());
    }
}
