package org.foxtailplank.admission;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a job, sent to two nodes, that one of them refuses and the other one stores. */
public class RefusalRegisterTest {
    private static final long READY_MS = RefusalRegister.TAKEOVER_DELAY_MS;

    private RefusalRegister mRegister;

    @BeforeMethod
    public void takeOver() {
        mRegister = new RefusalRegister(0);
    }

    @Test
    public void aJobThatIsBeingStoredIsNotRefused() {
        mRegister.tryStore("a", READY_MS);

        assertFalse(mRegister.tryRefuse("a", READY_MS + 100));
        assertTrue(mRegister.tryRefuse("b", READY_MS + 100));
    }

    @Test
    public void aRefusedJobIsNotStored() {
        mRegister.tryRefuse("a", READY_MS);

        assertFalse(mRegister.tryStore("a", READY_MS + 100));
        assertTrue(mRegister.tryStore("b", READY_MS + 100));
    }

    @Test
    public void aCallerThatReturnsAfterASecondCanBeAccepted() {
        mRegister.tryRefuse("a", READY_MS);

        assertTrue(mRegister.tryStore("a", READY_MS + 1000));
    }

    @Test
    public void nothingIsRefusedRightAfterATakeover() {
        // Nodes still append what they had handed over to the former owner.
        assertFalse(mRegister.tryRefuse("a", READY_MS - 1));
        assertTrue(mRegister.tryStore("a", READY_MS - 1));
    }

    @Test
    public void aSecondRefusalOfAJobExtendsTheFirst() {
        mRegister.tryRefuse("a", READY_MS);
        mRegister.tryRefuse("b", READY_MS + 1);
        mRegister.tryRefuse("a", READY_MS + 500);

        assertFalse(mRegister.tryStore("a", READY_MS + 500 + RefusalRegister.REFUSAL_MS - 1));
    }
}
