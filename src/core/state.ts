/**
The complete state of a daemon, changed only by the reducer. The state dump is this
object without secrets and bodies.
*/
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {emptyConfiguration, indexConfiguration, type ConfigurationIndex} from './configuration/index.js';
import {type Configuration} from './configuration/types.js';
import {MembershipState} from './membership/state.js';
import {PeerState} from './peer/state.js';
import {PlacementState} from './placement/state.js';
import {type PatchOperation} from './configuration/patch-operations.js';
import {type TableStep} from './table-steps.js';
import {RequestState} from './request/state.js';
import {type Target} from './request/target.js';
import {Timers} from './timers.js';
import {type Instance, type ModelName, type TargetId} from './types.js';

export type ConfigurationState = {
	version: number;
	configuration: Configuration;
	index: ConfigurationIndex;
	/** Highest version that any instance is known to have. */
	newestKnown: number;
	readonly patches: Map<string, PatchOperation>;
	/** Whether a read of the head row or of newer versions is pending. */
	polling: boolean;
};

export type State = {
	self: Instance;
	random: RandomGenerator;
	tokenCounter: number;
	/** Wall clock minus monotonic clock at startup, in milliseconds. */
	wallOffsetMs: number;
	lifecycle: 'starting' | 'serving' | 'draining' | 'stopped';
	platformReachable: boolean;
	/** Monotonic time at which the drain began. */
	drainSinceMs: number;
	readonly configuration: ConfigurationState;
	readonly requests: RequestState;
	readonly targets: Map<TargetId, Target>;
	/** Targets that have any version of a model loaded. */
	readonly holders: Map<ModelName, Set<TargetId>>;
	/** Targets that serve a model: those with its configured version or, if there are none, those with any version. */
	readonly residentTargets: Map<ModelName, TargetId[]>;
	readonly membership: MembershipState;
	readonly peers: PeerState;
	readonly placement: PlacementState;
	readonly timers: Timers;
	/** Steps of pending table operations, by operation id. */
	readonly tableSteps: Map<number, TableStep>;
	tableOperations: number;
};

export function createState(): State {
	return {
		self: {
			id: '', boot: '', zone: '', address: '', state: 'live',
		},
		random: xoroshiro128plus(0),
		tokenCounter: 0,
		wallOffsetMs: 0,
		lifecycle: 'starting',
		platformReachable: true,
		drainSinceMs: 0,
		configuration: {
			version: 0,
			configuration: emptyConfiguration,
			index: indexConfiguration(emptyConfiguration),
			newestKnown: 0,
			patches: new Map(),
			polling: false,
		},
		requests: new RequestState(),
		targets: new Map(),
		holders: new Map(),
		residentTargets: new Map(),
		membership: new MembershipState(),
		peers: new PeerState(),
		placement: new PlacementState(),
		timers: new Timers(),
		tableSteps: new Map(),
		tableOperations: 0,
	};
}

export function seedRandom(state: State, seed: number): void {
	state.random = xoroshiro128plus(seed);
}
