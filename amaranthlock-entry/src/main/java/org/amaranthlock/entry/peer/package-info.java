/** What entry hosts tell each other: TCP connections with MessagePack frames. */
package org.amaranthlock.entry.peer;
