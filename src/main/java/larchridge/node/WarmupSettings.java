package larchridge.node;

/** Settings of a warm-up: three types of engines with load reports, as in a deployment. */
final class WarmupSettings {
    /** The settings object of a node's configuration, as JSON. */
    static final String JSON =
            "{\"az\":\"a\",\"family_info\":{\"aim_us_per_1000_prompt_tokens\":[40000],"
                    + "\"kv_tokens\":[200000,200000,200000],\"release_within_s\":1,\"stage_of_kind\":[\"read\",\"write\",\"both\"],"
                    + "\"token_aim_s\":[0.06]},\"host_types\":[\"r\",\"w\",\"b\"],"
                    + "\"invariants\":{\"cold_s\":10,\"cold_share\":0.5,\"overload_factor\":4,\"tip_after_s\":1},"
                    + "\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":15,\"max_attempts\":5,\"max_retry_after_s\":2,"
                    + "\"may_cancel\":true,\"may_probe\":true,\"parallel_tries\":true,\"retry_after\":true},\"n_instances\":3,"
                    + "\"reporting\":{\"fields\":[\"concurrent\",\"depth\",\"x0\",\"x1\"],\"source\":\"on_probe\"},"
                    + "\"request_classes\":[{\"give_up_s\":5,\"late_worth\":0.2,\"name\":\"p\",\"repeat\":\"pure\",\"slo_s\":1.2}]}";

    private WarmupSettings() {}
}
