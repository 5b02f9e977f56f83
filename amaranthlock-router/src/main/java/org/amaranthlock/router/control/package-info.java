/** Parts shared by the control thread and the threads around it: queue, clocks and timeline. */
package org.amaranthlock.router.control;
