/**
The faults of a soak, drawn from its seed: the same seed, length and sizes give the same
faults at the same offsets.
*/
import {createRandom} from './seeded-random.js';

export type FaultKind = 'instance-kill' | 'instance-stop' | 'instance-freeze' | 'zone-kill' | 'rolling-stop' | 'target-refuse' | 'service-refuse' | 'target-kill' | 'target-freeze' | 'target-pause' | 'target-fail' | 'target-reset' | 'target-leave' | 'configuration-change' | 'store-cut' | 'store-silent' | 'store-busy' | 'fleet-kill';

export type Fault = {
	readonly atMs: number;
	readonly kind: FaultKind;
	/** Which instance, zone or target, counted modulo their number. */
	readonly index: number;
	/** Until the end of the fault, or the restart. */
	readonly forMs: number;
	/** Whether what is restarted comes back at another address; for a kill of the fleet, whether the targets are killed too. */
	readonly isMoved: boolean;
};

type KindRule = {
	readonly weight: number;
	readonly minMs: number;
	readonly maxMs: number;
};

const rules: Readonly<Record<Exclude<FaultKind, 'fleet-kill'>, KindRule>> = {
	'instance-kill': {weight: 4, minMs: 100, maxMs: 3000},
	'instance-stop': {weight: 3, minMs: 100, maxMs: 2000},
	'instance-freeze': {weight: 3, minMs: 200, maxMs: 4000},
	'zone-kill': {weight: 1, minMs: 200, maxMs: 2000},
	'rolling-stop': {weight: 1, minMs: 500, maxMs: 2000},
	'target-refuse': {weight: 8, minMs: 1000, maxMs: 6000},
	'service-refuse': {weight: 6, minMs: 500, maxMs: 4000},
	'target-kill': {weight: 4, minMs: 50, maxMs: 3000},
	'target-freeze': {weight: 3, minMs: 200, maxMs: 4000},
	'target-pause': {weight: 6, minMs: 500, maxMs: 2500},
	'target-fail': {weight: 4, minMs: 500, maxMs: 4000},
	'target-reset': {weight: 3, minMs: 0, maxMs: 0},
	'target-leave': {weight: 2, minMs: 100, maxMs: 2000},
	'configuration-change': {weight: 2, minMs: 0, maxMs: 0},
	'store-cut': {weight: 3, minMs: 1000, maxMs: 10_000},
	'store-silent': {weight: 1, minMs: 500, maxMs: 8000},
	'store-busy': {weight: 1, minMs: 500, maxMs: 5000},
};

export const faultKinds: ReadonlySet<string> = new Set([...Object.keys(rules), 'fleet-kill']);

const QUIET_START_MS = 2000;
const MEAN_INTERVAL_MS = 600;
/** From the kill of the fleet to the end: its return, the time within which it must serve again, and the time that is judged. */
export const FLEET_KILL_BEFORE_END_MS = 20_000;
const FLEET_RETURN_MS = 1500;
const MOVED_SHARE = 0.3;
const TARGETS_KILLED_SHARE = 0.5;

export type ScheduleOptions = {
	readonly seed: number;
	readonly lengthMs: number;
	readonly kinds?: readonly FaultKind[];
};

export function drawSchedule({seed, lengthMs, kinds}: ScheduleOptions): Fault[] {
	const random = createRandom(seed);
	const endsWithFleetKill = (kinds?.includes('fleet-kill') ?? true) && lengthMs > FLEET_KILL_BEFORE_END_MS + QUIET_START_MS;
	const lastMs = lengthMs - (endsWithFleetKill ? FLEET_KILL_BEFORE_END_MS : QUIET_START_MS);
	const drawn = Object.entries(rules).filter(([kind]) => kinds?.includes(kind as FaultKind) ?? true);
	const faults: Fault[] = [];
	for (let atMs = QUIET_START_MS + random.exponential(MEAN_INTERVAL_MS); atMs < lastMs && drawn.length > 0; atMs += random.exponential(MEAN_INTERVAL_MS)) {
		const [kind, {minMs, maxMs}] = drawn[random.pick(drawn.map(([, {weight}]) => weight))]!;
		faults.push({
			atMs, kind: kind as FaultKind, index: Math.floor(random.uniform() * 1000), forMs: minMs + (random.uniform() * (maxMs - minMs)), isMoved: random.uniform() < MOVED_SHARE,
		});
	}

	if (endsWithFleetKill) {
		faults.push({
			atMs: lastMs, kind: 'fleet-kill', index: 0, forMs: FLEET_RETURN_MS, isMoved: random.uniform() < TARGETS_KILLED_SHARE,
		});
	}

	return faults;
}
