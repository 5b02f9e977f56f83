/** HTTP support shared by the stand-ins for outside systems. */
package org.amaranthlock.standin;
