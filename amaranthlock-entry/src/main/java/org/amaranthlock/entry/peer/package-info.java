/** Communication between entry hosts: TCP connections with MessagePack frames. */
package org.amaranthlock.entry.peer;
