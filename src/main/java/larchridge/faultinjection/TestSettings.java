package larchridge.faultinjection;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.TrafficClass;

/**
 * Settings of the nodes under test: three request classes, one of each effect, with short windows
 * and deadlines.
 */
final class TestSettings {
    static final double DRAIN_GRACE_MS = 250;
    static final double RELEASE_MS = 500;
    static final double DEDUPLICATION_WINDOW_MS = 1200;
    static final int LONGEST_DEADLINE_MS = 4000;
    static final List<TestClients.RequestClass> REQUEST_CLASSES =
            List.of(
                    new TestClients.RequestClass("consulta", LONGEST_DEADLINE_MS, 0.6),
                    new TestClients.RequestClass("registro", 3000, 0.25),
                    new TestClients.RequestClass("pago", 3000, 0.15));
    static final String JSON =
            "{\"az\":\"a\",\"family_info\":{\"aim_us_per_1000_prompt_tokens\":[40000,40000,40000],"
                    + "\"kv_tokens\":[200000,200000],\"release_within_s\":0.5,\"stage_of_kind\":[\"read\",\"write\"],"
                    + "\"token_aim_s\":[0.06,0.06,0.06]},\"host_types\":[\"lectura\",\"redaccion\"],"
                    + "\"invariants\":{\"cold_s\":3,\"cold_share\":0.3,\"stop_sending_within_s\":0.25,\"overload_factor\":4,"
                    + "\"tip_after_s\":1.5},\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":4.0,\"max_attempts\":5,"
                    + "\"max_retry_after_s\":2.0,\"may_cancel\":true,\"may_probe\":false,\"parallel_tries\":true,\"retry_after\":true},"
                    + "\"n_instances\":24,\"reporting\":{\"fields\":[],\"source\":\"off\"},\"request_classes\":["
                    + "{\"give_up_s\":4.0,\"late_worth\":0.2,\"name\":\"consulta\",\"repeat\":\"pure\",\"slo_s\":1.2,\"worth\":1.0},"
                    + "{\"give_up_s\":3.0,\"late_worth\":0.2,\"name\":\"registro\",\"repeat\":\"token\",\"group\":\"all\","
                    + "\"memory_span_s\":1.2,\"slo_s\":1.2,\"worth\":1.0},"
                    + "{\"give_up_s\":3.0,\"late_worth\":0.2,\"name\":\"pago\",\"repeat\":\"side_effect\",\"slo_s\":1.2,\"worth\":2.0}]}";

    private TestSettings() {}

    static Map<String, TrafficClass> trafficClasses() {
        Map<String, TrafficClass> trafficClasses = new LinkedHashMap<>();
        trafficClasses.put(
                "consulta",
                new TrafficClass(
                        "consulta",
                        Effect.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1,
                        0.2,
                        1200,
                        0,
                        60));
        trafficClasses.put(
                "registro",
                new TrafficClass(
                        "registro",
                        Effect.DEDUPLICATED,
                        DeduplicationScope.ALL,
                        DEDUPLICATION_WINDOW_MS,
                        1,
                        0.2,
                        1200,
                        0,
                        60));
        trafficClasses.put(
                "pago",
                new TrafficClass(
                        "pago",
                        Effect.SIDE_EFFECTING,
                        DeduplicationScope.ALL,
                        0,
                        2,
                        0.2,
                        1200,
                        0,
                        60));
        return trafficClasses;
    }
}
