/**
Random numbers for the parts of a soak, each from a seed of its own.
*/
import {RandomSource} from '../../src/experiment/random-source.js';

/** The first numbers of generators with neighbouring seeds resemble each other. */
const SKIPPED = 64;

export function createRandom(seed: number): RandomSource {
	const random = new RandomSource(seed);
	for (let skipped = 0; skipped < SKIPPED; skipped++) {
		random.uniform();
	}

	return random;
}
