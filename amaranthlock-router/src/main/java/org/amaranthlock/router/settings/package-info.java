/** Settings of a router process: model, TOML reader and validation. */
package org.amaranthlock.router.settings;
