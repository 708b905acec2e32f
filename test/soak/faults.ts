/**
Carries out the faults of a schedule at instances, targets and the store.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {type FakeStore} from '../standins/fake-store-and-runner.js';
import {createConfiguration} from './configuration.js';
import {
	type Fleet, hostAddress, type SoakInstance, zones,
} from './fleet.js';
import {type SoakRecord} from './record.js';
import {type Fault, type FaultKind} from './schedule.js';
import {type SoakTarget} from './target.js';

export type Field = {
	readonly fleet: Fleet;
	readonly targets: readonly SoakTarget[];
	readonly store: FakeStore;
	readonly record: SoakRecord;
};

/** Pause between the stops of a zone's instances. */
const ROLLING_PAUSE_MS = 700;
const MOVED_TARGET_HOST = 150;
/** How long a target serves after it has announced that it leaves. */
const LEAVING_MS = 2500;
/** Higher than the first version of the configuration. */
const FIRST_CHANGE = 10;

type Handler = (field: Field, fault: Fault) => Promise<void>;

function instanceOf({fleet}: Field, {index}: Fault): SoakInstance | undefined {
	const sound = fleet.instances.filter(({isSound}) => isSound);
	return sound[index % sound.length];
}

function targetOf({targets}: Field, {index}: Fault, condition: (target: SoakTarget) => boolean): SoakTarget | undefined {
	const target = targets[index % targets.length]!;
	return condition(target) ? target : undefined;
}

async function killAll({fleet}: Field, instances: readonly SoakInstance[], forMs: number): Promise<void> {
	await Promise.all(instances.map(async instance => fleet.kill(instance)));
	await delay(forMs);
	for (const instance of instances) {
		fleet.start(instance);
	}
}

async function stopAndRestart({fleet}: Field, instance: SoakInstance, {forMs, isMoved}: Fault): Promise<void> {
	await fleet.stop(instance);
	await delay(forMs);
	fleet.start(instance, isMoved);
}

/** Lets nothing through between instances and the store. */
async function cutFromStore(instances: readonly SoakInstance[], forMs: number): Promise<void> {
	for (const {storeRelay} of instances) {
		storeRelay!.block();
	}

	await delay(forMs);
	for (const {storeRelay} of instances) {
		storeRelay!.unblock();
	}
}

async function refuse({record}: Field, targets: readonly SoakTarget[], forMs: number): Promise<void> {
	for (const target of targets) {
		target.isRefusing = true;
		record.noteFault(target.id, 'refuse');
	}

	await delay(forMs);
	for (const target of targets) {
		target.isRefusing = false;
		record.noteFault(target.id, 'accept');
	}
}

const handlers: Readonly<Record<FaultKind, Handler>> = {
	async 'instance-kill'(field, fault) {
		const instance = instanceOf(field, fault);
		if (instance) {
			await field.fleet.kill(instance);
			await delay(fault.forMs);
			field.fleet.start(instance, fault.isMoved);
		}
	},
	async 'instance-stop'(field, fault) {
		const instance = instanceOf(field, fault);
		if (instance) {
			await stopAndRestart(field, instance, fault);
		}
	},
	async 'instance-freeze'(field, fault) {
		const instance = instanceOf(field, fault);
		if (instance) {
			field.fleet.freeze(instance);
			await delay(fault.forMs);
			field.fleet.thaw(instance);
		}
	},
	async 'zone-kill'(field, {index, forMs}) {
		await killAll(field, field.fleet.instances.filter(({zone}) => zone === zones[index % zones.length]), forMs);
	},
	async 'rolling-stop'(field, fault) {
		const restarts: Array<Promise<void>> = [];
		for (const instance of field.fleet.instances.filter(({zone, isSound}) => isSound && zone === zones[fault.index % zones.length])) {
			restarts.push(stopAndRestart(field, instance, fault));
			await delay(ROLLING_PAUSE_MS);
		}

		await Promise.all(restarts);
	},
	async 'target-refuse'(field, fault) {
		const target = targetOf(field, fault, ({isRefusing}) => !isRefusing);
		await refuse(field, target ? [target] : [], fault.forMs);
	},
	async 'service-refuse'(field, {index, forMs}) {
		const {service} = field.targets[index % field.targets.length]!;
		await refuse(field, field.targets.filter(target => target.service === service && !target.isRefusing), forMs);
	},
	async 'target-kill'(field, fault) {
		const target = targetOf(field, fault, ({isUp}) => isUp);
		if (target) {
			target.kill();
			await delay(fault.forMs);
			if (!target.isUp) {
				await target.start([], fault.isMoved ? hostAddress(MOVED_TARGET_HOST + field.targets.indexOf(target)) : undefined);
			}
		}
	},
	async 'target-freeze'(field, fault) {
		const target = targetOf(field, fault, ({isUp, isFrozen}) => isUp && !isFrozen);
		if (target) {
			target.freeze();
			await delay(fault.forMs);
			if (target.isFrozen) {
				target.thaw();
			}
		}
	},
	async 'target-pause'(field, fault) {
		targetOf(field, fault, ({isUp, isFrozen}) => isUp && !isFrozen)?.pause(fault.forMs);
	},
	async 'target-fail'(field, fault) {
		const target = targetOf(field, fault, ({isUp, isFailing}) => isUp && !isFailing);
		if (target) {
			target.isFailing = true;
			field.record.noteFault(target.id, 'fail');
			await delay(fault.forMs);
			target.isFailing = false;
			field.record.noteFault(target.id, 'serve');
		}
	},
	async 'target-reset'(field, fault) {
		targetOf(field, fault, ({isUp}) => isUp)?.resetConnections();
	},
	async 'target-leave'(field, fault) {
		const target = targetOf(field, fault, ({isUp, isFrozen}) => isUp && !isFrozen);
		if (target) {
			target.leave();
			await delay(LEAVING_MS);
			if (target.isUp) {
				target.kill();
			}

			field.store.deleteRow('servers', target.id);
			await delay(fault.forMs);
			if (!target.isUp) {
				await target.start();
			}
		}
	},
	async 'configuration-change'({store, record}, {atMs}) {
		record.noteFault('store', 'change');
		store.put('op', 'config', createConfiguration(FIRST_CHANGE + Math.floor(atMs)));
	},
	async 'store-silent'({fleet}, {forMs}) {
		await cutFromStore(fleet.instances, forMs);
	},
	async 'store-cut'(field, fault) {
		const {instances} = field.fleet;
		await cutFromStore([instances[fault.index % instances.length]!], fault.forMs);
	},
	async 'store-busy'({store, record}, {forMs}) {
		record.noteFault('store', 'busy');
		store.fault = 'busy';
		await delay(forMs);
		store.fault = 'none';
		record.noteFault('store', 'sound');
	},
	async 'fleet-kill'(field, fault) {
		const {fleet, targets, record} = field;
		record.fleetKill = {killedAtMs: record.nowMs(), backAtMs: Number.POSITIVE_INFINITY};
		const killed = fault.isMoved ? targets.filter(({isUp}) => isUp) : [];
		for (const target of killed) {
			target.kill();
		}

		// Those that are down at this moment come back with the others.
		await killAll(field, fleet.instances, fault.forMs);
		await Promise.all(killed.map(async target => target.isUp ? undefined : target.start()));
		record.fleetKill.backAtMs = record.nowMs();
	},
};

/** Carries out all faults at their offsets; resolves once the last is over. */
export async function inject(field: Field, faults: readonly Fault[]): Promise<void> {
	const startMs = field.record.nowMs();
	await Promise.all(faults.map(async fault => {
		await delay(startMs + fault.atMs - field.record.nowMs());
		await handlers[fault.kind](field, fault);
	}));
}
