/** Settings of a router process, read from TOML and validated as a whole. */
package org.amaranthlock.router.settings;
