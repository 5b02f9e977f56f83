/** HTTP support shared by the stand-ins, which imitate the external systems that the product talks to. */
package org.amaranthlock.standin;
