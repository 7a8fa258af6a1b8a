package org.foxtailplank.entry;

import java.util.List;
import org.foxtailplank.request.BackendServer;

/** The backend servers that the platform lists as live; the list may be some seconds old. */
public interface Directory {

    /**
     * Returns the latest known list; the same list object as long as it has not changed. During an
     * outage of the platform, the last list is kept.
     */
    List<BackendServer> live();
}
