/** Stand-in for a model engine with continuous batching, a prefix cache and resumable streams. */
package org.amaranthlock.standin.engine;
