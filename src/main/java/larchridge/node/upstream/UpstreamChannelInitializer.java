package larchridge.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Installs the HTTP codecs and the connection's handler on a new channel. */
final class UpstreamChannelInitializer extends ChannelInitializer<Channel> {
    private static final int MAX_STATUS_LINE_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 1 << 16;

    private static final HttpHeadersFactory HEADERS = new ResponseHeaders.Factory();

    private final UpstreamConnection connection;

    UpstreamChannelInitializer(UpstreamConnection connection) {
        this.connection = connection;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpResponseDecoder(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                                        .setMaxChunkSize(MAX_CHUNK_BYTES)
                                        .setHeadersFactory(HEADERS)
                                        .setTrailersFactory(HEADERS)))
                .addLast(new HttpRequestEncoder())
                .addLast(connection);
    }
}
