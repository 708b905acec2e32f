/**
Delays and losses of messages between the zones of a modelled deployment.
*/
import {type Pattern} from './pattern.js';
import {type RandomSource} from './random-source.js';

/** Delays vary by this share in both directions. */
const DELAY_SPREAD_SHARE = 0.2;

export class ModeledNetwork {
	/** Whether the first zone is cut off from the others. */
	isCut = false;
	/** Share of messages that are lost. */
	lossShare = 0;

	constructor(private readonly _pattern: Pick<Pattern, 'zoneMs' | 'crossZoneMs'>, private readonly _random: RandomSource) {}

	/** Whether a message that is sent now arrives. */
	arrives(from: number, to: number): boolean {
		const isCut = this.isCut && (from === 0) !== (to === 0);
		return !isCut && (this.lossShare === 0 || this._random.uniform() >= this.lossShare);
	}

	/** One-way delay in milliseconds. */
	delayMs(from: number, to: number): number {
		const {zoneMs, crossZoneMs} = this._pattern;
		return (from === to ? zoneMs : crossZoneMs) * (1 - DELAY_SPREAD_SHARE + (this._random.uniform() * 2 * DELAY_SPREAD_SHARE));
	}
}
