/** Stand-in for an inference engine with continuous batching, a prefix cache and resumable streams. */
package org.amaranthlock.standin.engine;
