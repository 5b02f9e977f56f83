/** Events that the decision core handles, commands that it returns, and the interfaces of the core. */
package org.amaranthlock.coordination;
