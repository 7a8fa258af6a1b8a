package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests parsing of {@code ip:port} addresses. */
public class IpPortTest {
    @Test
    public void parsesIpAddressesWithPort() {
        assertEquals(
                IpPort.parse("10.0.0.1:80"), Optional.of(new InetSocketAddress("10.0.0.1", 80)));
        assertEquals(IpPort.parse("[::1]:65535"), Optional.of(new InetSocketAddress("::1", 65535)));
    }

    @Test
    public void rejectsInvalidAddresses() {
        List<String> texts =
                List.of(
                        "",
                        ":",
                        "10.0.0.1",
                        "10.0.0.1:",
                        ":80",
                        "10.0.0.1:0",
                        "10.0.0.1:65536",
                        "10.0.0.1:-1",
                        "10.0.0:80",
                        "10.0.0.1.2:80",
                        "localhost:80",
                        "10.0.0.1:80 ");

        for (String t : texts) {
            assertTrue(IpPort.parse(t).isEmpty(), t);
        }
    }
}
