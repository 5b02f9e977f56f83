/** Events that the decision core consumes, commands that it returns, and the interfaces between its parts. */
package org.amaranthlock.coordination;
