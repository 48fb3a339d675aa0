package larchridge.node;

/** The configuration of a node under test. */
final class ConfigurationJson {
    private static final String SETTINGS =
            "{\"az\":\"a\",\"family_info\":{\"aim_us_per_1000_prompt_tokens\":[40000],"
                    + "\"kv_tokens\":[200000,200000],\"release_within_s\":1.0,\"stage_of_kind\":[\"read\",\"write\"],"
                    + "\"token_aim_s\":[0.06]},\"host_types\":[\"lectura\",\"redaccion\"],"
                    + "\"invariants\":{\"cold_s\":0,\"cold_share\":1,\"stop_sending_within_s\":0.25},"
                    + "\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":15.0,\"max_attempts\":5,\"max_retry_after_s\":2.0,"
                    + "\"may_cancel\":true,\"may_probe\":false,\"parallel_tries\":true,\"retry_after\":true},\"n_instances\":1,"
                    + "\"reporting\":{\"fields\":[\"concurrent\",\"depth\",\"x0\",\"x1\"],\"source\":\"off\"},"
                    + "\"request_classes\":[{\"give_up_s\":5.0,\"late_worth\":0.2,\"name\":\"consulta\",\"repeat\":\"pure\","
                    + "\"slo_s\":1.2,\"worth\":1.0}]}";

    private ConfigurationJson() {}

    /**
     * Returns a configuration with these ports, this descriptor limit and this list of known
     * endpoints.
     */
    static String of(int listenPort, int discoveryPort, int sockets, String knownSnapshot) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                + listenPort
                + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":256,\"sockets\":"
                + sockets
                + "},\"known\":"
                + knownSnapshot
                + ",\"settings\":"
                + SETTINGS
                + "}";
    }
}
