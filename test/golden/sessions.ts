/**
The scripts of the golden sessions. Each drives decision cores on a virtual clock
and is recorded from the first core's side.
*/
import {type Effect} from '../../src/core/effect.js';
import {type Event} from '../../src/core/event.js';
import {lookupArrival, promptArrival, signOffArrival, testConfiguration} from '../standins/configurations.js';
import {Simulation, type Node, type SimulationOptions} from '../standins/simulation.js';

const targets = [
	{
		id: 'engine-a',
		zone: 'plovdiv',
		gateway: 'engine-fenced' as const,
		memoryMb: 2000,
	},
	{
		id: 'engine-b',
		zone: 'haskovo',
		gateway: 'engine-unfenced' as const,
		memoryMb: 2000,
	},
	{id: 'records-a', zone: 'plovdiv'},
	{id: 'records-b', zone: 'haskovo'},
];

const models = {verdict: 1000, archive: 1000};

type Session = (world: Simulation) => void;

function prepare(world: Simulation, nodes: ReadonlyArray<readonly [id: string, zone: string]>): Node[] {
	for (const {id, gateway} of targets) {
		world.addTarget({id, checksFencing: gateway === 'engine-fenced'});
	}

	const added = nodes.map(([id, zone]) => world.addNode(id, zone));
	world.configure({version: 1, configuration: testConfiguration({targets, models})});
	return added;
}

/** Models are placed, callers are served, a sign-off is sent twice, an engine crashes, the instance drains. */
function workingDay(world: Simulation): void {
	const [node] = prepare(world, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [Node];
	world.run(8000);
	world.arrive(node, promptArrival('r1', 'verdict'));
	world.arrive(node, signOffArrival('r2', 'trench-12'));
	world.arrive(node, signOffArrival('r3', 'trench-12'));
	world.arrive(node, signOffArrival('r4', 'trench-12', {contentHash: 'other'}));
	world.arrive(node, lookupArrival('r5'));
	world.arrive(node, promptArrival('r6', 'no-such-model'));
	world.run(1000);
	world.arrive(node, signOffArrival('r7', 'trench-12'));
	world.arrive(node, promptArrival('r8', 'archive', {priority: 'batch'}));
	world.run(50);
	world.targets.get('engine-a')?.crash();
	world.run(1500);
	world.targets.get('engine-a')?.restart();
	world.run(4000);
	world.arrive(node, signOffArrival('r9', 'trench-13'));
	world.dispatch(node, {kind: 'drain-requested', nowMs: world.nowMs, reason: 'signal'});
	world.run(5000);
}

/** Two operators patch the same version at two instances; one of the writes loses its answer. */
function twoOperators(world: Simulation): void {
	const [first, second] = prepare(world, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [Node, Node];
	world.run(1000);
	let writes = 0;
	world.table.fault = operation => {
		const isPatch = operation.kind === 'write' && operation.puts.some(({key}) => key.startsWith('config/patch/'));
		writes += isPatch ? 1 : 0;
		return isPatch && writes === 1 ? 'lost-after' : 'none';
	};

	const submit = (node: Node, operationId: string, patch: Record<string, unknown>) => {
		world.dispatch(node, {
			kind: 'patch-submitted',
			nowMs: world.nowMs,
			operationId,
			base: 1,
			patch,
			operator: operationId,
			wallMs: 0,
		});
	};

	submit(first, 'ana', {callers: {night: {priority: 'batch'}}});
	submit(second, 'boris', {callers: {day: {priority: 'urgent'}}});
	world.run(3000);
}

/** The platform is out of reach while sign-offs arrive, and comes back. */
function platformOutage(world: Simulation): void {
	const [node] = prepare(world, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [Node];
	world.run(6000);
	world.arrive(node, signOffArrival('r1', 'trench-1'));
	world.run(20);
	world.table.fault = () => 'unavailable';
	world.run(500);
	world.arrive(node, signOffArrival('r2', 'trench-2', {deadlineMs: 2000}));
	world.arrive(node, promptArrival('r3', 'verdict'));
	world.run(5000);
	world.table.fault = () => 'none';
	world.run(12_000);
	world.arrive(node, signOffArrival('r4', 'trench-2'));
	world.arrive(node, signOffArrival('r5', 'trench-1'));
	world.run(2000);
}

/** The zones lose each other and the platform, a version comes meanwhile, and they meet again. */
function zonesApart(world: Simulation): void {
	const [, second] = prepare(world, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [Node, Node];
	world.run(6000);
	const first = world.nodes.get('p1') as Node;
	world.reaches = (from, to) => {
		const isFirst = from.id === 'p1';
		const isOwn = to === 'engine-a' || to === 'records-a';
		return isFirst ? isOwn : to === 'platform' || !(to === 'p1' || isOwn);
	};

	world.run(1000);
	world.dispatch(second, {
		kind: 'patch-submitted',
		nowMs: world.nowMs,
		operationId: 'op',
		base: 1,
		patch: {callers: {night: {priority: 'batch'}}},
		operator: 'op',
		wallMs: 0,
	});
	world.arrive(first, promptArrival('r1', 'verdict', {deadlineMs: 4000}));
	world.arrive(first, lookupArrival('r2'));
	world.run(8000);
	world.reaches = () => true;
	world.run(3000);
}

export const sessions: Readonly<Record<string, Session>> = {
	'a-working-day': workingDay,
	'two-operators': twoOperators,
	'platform-outage': platformOutage,
	'zones-apart': zonesApart,
};

/** Runs a session and returns the first core's events and effects, one JSON line each. */
export function recordSession(name: string): string {
	const lines: string[] = [];
	const record: SimulationOptions['record'] = (node, event: Event, effects: readonly Effect[]) => {
		// Ticks in which nothing is due say nothing.
		if (node.id === 'p1' && (event.kind !== 'tick' || effects.length > 0)) {
			lines.push(JSON.stringify({event, effects}));
		}
	};

	sessions[name]?.(new Simulation({seed: 11, record}));
	return `${lines.join('\n')}\n`;
}
