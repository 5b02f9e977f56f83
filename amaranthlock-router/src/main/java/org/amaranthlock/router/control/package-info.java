/** State shared between the control thread and other threads: task queue, clock and timeline. */
package org.amaranthlock.router.control;
