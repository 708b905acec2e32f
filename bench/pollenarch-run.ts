/**
Runs a trace through the decision cores of pollenarch, one for each instance of the deployment.
*/
import {testConfiguration} from '../test/standins/configurations.js';
import {Simulation, type SimulatedInstance, type TryScript} from '../test/standins/simulation.js';
import {type EffectOf} from '../src/core/effect.js';
import {type RunTotals} from './score.js';
import {
	MODEL_LOAD_MS, MODEL_MB, modelName, ENGINE_MEMORY_MB, type Fault, type Trace, type TracedRequest,
} from './trace.js';

const RESTART_DELAY_MS = 10_000;

/** Time for the initial placement of all models before the trace starts. */
const PLACEMENT_MS = 90_000;
const COOLDOWN_MS = 60_000;

function createTryScript(requestsById: ReadonlyMap<string, TracedRequest>, effect: EffectOf<'send-try'>): TryScript {
	const request = requestsById.get(effect.requestId);
	return {
		serviceMs: request?.serviceMs ?? 100,
		crashes: request?.crashesTargets,
		silent: request?.isSilent && effect.tryNumber === 1,
	};
}

export function runPollenarch(trace: Trace): RunTotals {
	const {shape} = trace;
	const requestsById = new Map(trace.requests.map(request => [request.id, request]));
	const simulation = new Simulation({
		seed: 1,
		tryScript: (_simulation, _instance, effect) => createTryScript(requestsById, effect),
		orderScript: () => ({arrivesAfterMs: MODEL_LOAD_MS, answerLost: false}),
	});
	const targets = Array.from({length: shape.engines}, (_, index) => ({
		id: `runner-${index}`,
		zone: shape.zones[index % shape.zones.length] ?? '',
		gateway: index % 2 === 0 ? 'engine-fenced' as const : 'engine-unfenced' as const,
		memoryMb: ENGINE_MEMORY_MB,
		slots: shape.slots,
	}));
	for (const {id, gateway} of targets) {
		simulation.addTarget({id, slots: shape.slots, checksFencing: gateway === 'engine-fenced'});
	}

	const instances = Array.from({length: shape.instances}, (_, index) => simulation.addInstance(`n${index}`, shape.zones[index % shape.zones.length] ?? ''));
	const models = Object.fromEntries(Array.from({length: shape.models}, (_, index) => [modelName(index), MODEL_MB]));
	simulation.configure({
		version: 1, configuration: testConfiguration({
			targets,
			models,
			limits: {weightLoadsPerSecond: shape.weightLoadsPerSecond, weightLoadsAtOnce: shape.weightLoadsAtOnce},
		}),
	});
	simulation.run(PLACEMENT_MS);
	const initialMoves = countMoves(simulation);
	scheduleTrace(simulation, trace, instances);
	simulation.run(trace.durationMs + COOLDOWN_MS);
	const finished = new Map<string, number>();
	for (const [id, outcome] of simulation.outcomes) {
		if (outcome.kind !== 'refused') {
			finished.set(id, outcome.atMs - PLACEMENT_MS);
		}
	}

	return {
		policy: 'pollenarch',
		finished,
		moves: countMoves(simulation) - initialMoves,
		targetsLost: [...simulation.targets.values()].reduce((sum, {crashes}) => sum + crashes, 0),
	};
}

function countMoves(simulation: Simulation): number {
	return [...simulation.targets.values()].reduce((sum, {loads, unloads}) => sum + loads + unloads, 0);
}

function scheduleTrace(simulation: Simulation, trace: Trace, instances: readonly SimulatedInstance[]): void {
	for (const request of trace.requests) {
		simulation.after(request.atMs, () => {
			const alive = instances.filter(({isAlive}) => isAlive);
			const instance = alive[Math.floor(request.entryFraction * alive.length)]!;
			simulation.arrive(instance, {
				id: request.id,
				destination: {kind: 'model', name: request.model, stream: false},
				contentHash: request.content,
				deadlineMs: request.deadlineMs,
				priority: request.priority,
			});
		});
	}

	for (const fault of trace.faults) {
		simulation.after(fault.atMs, () => {
			applyFault(simulation, fault, instances, trace);
		});
	}

	restartAfterCrashes(simulation);
}

/** Restarts crashed engines, without any models, after a delay. */
function restartAfterCrashes(simulation: Simulation): void {
	for (const target of simulation.targets.values()) {
		const crash = target.crash.bind(target);
		target.crash = () => {
			crash();
			simulation.after(RESTART_DELAY_MS, () => {
				target.restart();
			});
		};
	}
}

function applyFault(simulation: Simulation, fault: Fault, instances: readonly SimulatedInstance[], {shape}: Trace): void {
	switch (fault.kind) {
		case 'engine-crash': {
			simulation.targets.get(`runner-${fault.engine}`)?.crash();
			break;
		}

		case 'table-down': {
			simulation.table.fault = () => 'unavailable';
			break;
		}

		case 'table-up': {
			simulation.table.fault = () => 'none';
			break;
		}

		case 'instance-crash': {
			simulation.kill(instances[fault.instance]!);
			break;
		}

		case 'partition-start': {
			const partitionedZone = shape.zones[fault.zone];
			const zoneOf = (name: string) => simulation.instances.get(name)?.zone ?? (name === 'platform' ? 'platform' : shape.zones[Number(name.slice('runner-'.length)) % shape.zones.length]);
			simulation.reaches = (from, to) => (from.zone === partitionedZone) === (zoneOf(to) === partitionedZone);
			break;
		}

		case 'partition-end': {
			simulation.reaches = () => true;
			break;
		}
	}
}
