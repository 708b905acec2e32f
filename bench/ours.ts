/**
Runs a trace through decision cores: one for each instance of the deployment.
*/
import {testConfiguration} from '../test/standins/configurations.js';
import {Simulation, type Node, type TryScript} from '../test/standins/simulation.js';
import {type EffectOf} from '../src/core/effect.js';
import {type RunTotals} from './score.js';
import {
	LOAD_MS, MODEL_MB, modelName, RUNNER_MB, type Fault, type Trace, type TracedRequest,
} from './trace.js';

const RESTART_MS = 10_000;

/** Time to place all models before the trace begins. */
const SETTLE_MS = 90_000;
const TAIL_MS = 60_000;

function scriptTry(byId: ReadonlyMap<string, TracedRequest>, effect: EffectOf<'send-try'>): TryScript {
	const request = byId.get(effect.requestId);
	return {
		serviceMs: request?.serviceMs ?? 100,
		crashes: request?.isCulprit,
		silent: request?.isSilent && effect.tryNumber === 1,
	};
}

export function runOurs(trace: Trace): RunTotals {
	const {shape} = trace;
	const byId = new Map(trace.requests.map(request => [request.id, request]));
	const world = new Simulation({
		seed: 1,
		tryScript: (_world, _node, effect) => scriptTry(byId, effect),
		orderScript: () => ({arrivesAfterMs: LOAD_MS, answerLost: false}),
	});
	const targets = Array.from({length: shape.runners}, (_, index) => ({
		id: `runner-${index}`,
		zone: shape.zones[index % shape.zones.length] ?? '',
		gateway: index % 2 === 0 ? 'engine-fenced' as const : 'engine-unfenced' as const,
		memoryMb: RUNNER_MB,
		slots: shape.slots,
	}));
	for (const {id, gateway} of targets) {
		world.addTarget({id, slots: shape.slots, checksFencing: gateway === 'engine-fenced'});
	}

	const nodes = Array.from({length: shape.instances}, (_, index) => world.addNode(`n${index}`, shape.zones[index % shape.zones.length] ?? ''));
	const models = Object.fromEntries(Array.from({length: shape.models}, (_, index) => [modelName(index), MODEL_MB]));
	world.configure({
		version: 1, configuration: testConfiguration({
			targets,
			models,
			limits: {weightLoadsPerSecond: shape.weightLoadsPerSecond, weightLoadsAtOnce: shape.weightLoadsAtOnce},
		}),
	});
	world.run(SETTLE_MS);
	const placed = countMoves(world);
	scheduleTrace(world, trace, nodes);
	world.run(trace.durationMs + TAIL_MS);
	const finished = new Map<string, number>();
	for (const [id, outcome] of world.outcomes) {
		if (outcome.kind !== 'refused') {
			finished.set(id, outcome.atMs - SETTLE_MS);
		}
	}

	return {
		policy: 'pollenarch',
		finished,
		moves: countMoves(world) - placed,
		targetsLost: [...world.targets.values()].reduce((sum, {crashes}) => sum + crashes, 0),
	};
}

function countMoves(world: Simulation): number {
	return [...world.targets.values()].reduce((sum, {loads, unloads}) => sum + loads + unloads, 0);
}

function scheduleTrace(world: Simulation, trace: Trace, nodes: readonly Node[]): void {
	for (const request of trace.requests) {
		world.after(request.atMs, () => {
			const serving = nodes.filter(({isAlive}) => isAlive);
			const node = serving[Math.floor(request.entry * serving.length)]!;
			world.arrive(node, {
				id: request.id,
				destination: {kind: 'model', name: request.model, stream: false},
				contentHash: request.content,
				deadlineMs: request.deadlineMs,
				priority: request.priority,
			});
		});
	}

	for (const fault of trace.faults) {
		world.after(fault.atMs, () => {
			applyFault(world, fault, nodes, trace);
		});
	}

	restartCrashed(world);
}

/** A crashed runner is back after a while, empty. */
function restartCrashed(world: Simulation): void {
	for (const target of world.targets.values()) {
		const crash = target.crash.bind(target);
		target.crash = () => {
			crash();
			world.after(RESTART_MS, () => {
				target.restart();
			});
		};
	}
}

function applyFault(world: Simulation, fault: Fault, nodes: readonly Node[], {shape}: Trace): void {
	switch (fault.kind) {
		case 'crash': {
			world.targets.get(`runner-${fault.runner}`)?.crash();
			break;
		}

		case 'table-down': {
			world.table.fault = () => 'unavailable';
			break;
		}

		case 'table-up': {
			world.table.fault = () => 'none';
			break;
		}

		case 'instance-dies': {
			world.kill(nodes[fault.instance]!);
			break;
		}

		case 'zone-cut': {
			const cut = shape.zones[fault.zone];
			const zoneOf = (name: string) => world.nodes.get(name)?.zone ?? (name === 'platform' ? 'platform' : shape.zones[Number(name.slice('runner-'.length)) % shape.zones.length]);
			world.reaches = (from, to) => (from.zone === cut) === (zoneOf(to) === cut);
			break;
		}

		case 'zone-joined': {
			world.reaches = () => true;
			break;
		}
	}
}
