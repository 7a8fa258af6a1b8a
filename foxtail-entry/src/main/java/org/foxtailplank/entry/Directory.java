package org.foxtailplank.entry;

import java.util.List;
import org.foxtailplank.request.BackendServer;

/** Knows the backend servers that the platform lists as live; its list may be some seconds old. */
public interface Directory {

    /**
     * The newest list that is known. The same list object means that nothing has changed, and an
     * outage of the platform leaves the last list in place.
     */
    List<BackendServer> live();
}
