package org.foxtailplank.it.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The proxy's faults, each seen from both ends of one connection. */
public final class FaultProxyTest {

    private static final int SOON_MS = 100;
    private static final int PATIENT_MS = 20_000;

    private ServerSocket mListener;
    private FaultProxy mProxy;
    private Socket mClient;
    private Socket mServer;

    @BeforeMethod
    public void connect() throws IOException {
        mListener = new ServerSocket(0);
        mProxy = FaultProxy.before(new InetSocketAddress("127.0.0.1", mListener.getLocalPort()));
        mClient = new Socket("127.0.0.1", mProxy.address().getPort());
        mServer = mListener.accept();
        mClient.setSoTimeout(PATIENT_MS);
        mServer.setSoTimeout(PATIENT_MS);
        mClient.getOutputStream().write('a');
        assertEquals(mServer.getInputStream().read(), 'a');
    }

    @AfterMethod
    public void disconnect() throws IOException {
        mClient.close();
        mServer.close();
        mListener.close();
        mProxy.close();
    }

    @Test
    public void cutHoldsBytesUntilItHeals() throws IOException {
        mProxy.cut();
        mClient.getOutputStream().write('b');
        mServer.setSoTimeout(SOON_MS);
        expectThrows(SocketTimeoutException.class, () -> mServer.getInputStream().read());
        mProxy.heal();
        mServer.setSoTimeout(PATIENT_MS);
        assertEquals(mServer.getInputStream().read(), 'b');
    }

    @Test
    public void cutOneWayLetsTheOtherThrough() throws IOException {
        mProxy.cut(Direction.TO_TARGET);
        mServer.getOutputStream().write('c');
        assertEquals(mClient.getInputStream().read(), 'c');
        mClient.getOutputStream().write('d');
        mServer.setSoTimeout(SOON_MS);
        expectThrows(SocketTimeoutException.class, () -> mServer.getInputStream().read());
    }

    @Test
    public void delayKeepsTheOrder() throws IOException {
        mProxy.delay(Duration.ofMillis(50));
        long started = System.nanoTime();
        mClient.getOutputStream().write(new byte[] {'e', 'f'});
        assertEquals(mServer.getInputStream().read(), 'e');
        assertTrue(System.nanoTime() - started >= Duration.ofMillis(50).toNanos());
        assertEquals(mServer.getInputStream().read(), 'f');
    }

    @Test
    public void truncateClosesAfterSoManyBytes() throws IOException {
        mProxy.truncate(Direction.TO_CLIENT, 2);
        mServer.getOutputStream().write(new byte[] {'g', 'h', 'i'});
        assertEquals(mClient.getInputStream().readAllBytes(), new byte[] {'g', 'h'});
    }

    @Test
    public void resetBreaksTheConnection() {
        mProxy.reset();
        expectThrows(SocketException.class, () -> mClient.getInputStream().read());
    }
}
