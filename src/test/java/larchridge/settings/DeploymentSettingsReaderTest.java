package larchridge.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import larchridge.state.Effect;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

class DeploymentSettingsReaderTest {
    private static DeploymentSettings read(String json) throws Exception {
        return DeploymentSettingsReader.read(new ObjectMapper().readTree(json), 7);
    }

    @Test
    void secondsAreConvertedToMilliseconds() throws Exception {
        DeploymentSettings settings =
                read(
                        "{\"host_types\":[\"a\",\"b\"],\"family_info\":{\"stage_of_kind\":[\"read\",\"write\"],"
                                + "\"release_within_s\":0.5},\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":15},"
                                + "\"invariants\":{\"stop_sending_within_s\":0.25},"
                                + "\"request_classes\":[{\"name\":\"p\",\"repeat\":\"token\",\"slo_s\":1.2,\"give_up_s\":5}]}");
        assertEquals(250, settings.connectTimeoutMs());
        assertEquals(15_000, settings.keepAliveMs());
        assertEquals(250, settings.drainGraceMs());
        assertEquals(500, settings.maxStateHoldMs());
        assertEquals(5000, settings.clientTimeoutMs().get("p"));
        assertEquals(Effect.DEDUPLICATED, settings.trafficClasses().get("p").effect);
        assertEquals(Role.READER, settings.roles().get("a"));
    }

    @Test
    void errorNamesTheInvalidMember() {
        assertTrue(
                assertThrows(
                                InvalidSettingsException.class,
                                () ->
                                        read(
                                                "{\"request_classes\":[{\"name\":\"p\",\"slo_s\":\"x\"}]}"))
                        .getMessage()
                        .contains("slo_s"));
        assertTrue(
                assertThrows(
                                InvalidSettingsException.class,
                                () -> read("{\"request_classes\":[{}]}"))
                        .getMessage()
                        .contains("request_classes[0].name"));
        assertThrows(InvalidSettingsException.class, () -> read("[]"));
    }
}
