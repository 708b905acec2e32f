/**
Scripts of the golden sessions. Each runs a simulation of two instances on a virtual clock;
the events and effects of instance `p1` are recorded.
*/
import {type Effect} from '../../src/core/effect.js';
import {type Event} from '../../src/core/event.js';
import {lookupArrival, promptArrival, signOffArrival, testConfiguration} from '../standins/configurations.js';
import {Simulation, type SimulatedInstance, type SimulationOptions} from '../standins/simulation.js';

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

type SessionScript = (simulation: Simulation) => void;

function setUpSimulation(simulation: Simulation, instances: ReadonlyArray<readonly [id: string, zone: string]>): SimulatedInstance[] {
	for (const {id, gateway} of targets) {
		simulation.addTarget({id, checksFencing: gateway === 'engine-fenced'});
	}

	const added = instances.map(([id, zone]) => simulation.addInstance(id, zone));
	simulation.configure({version: 1, configuration: testConfiguration({targets, models})});
	return added;
}

/** Models are placed, requests are served, a sign-off is sent repeatedly, an engine crashes and restarts, the instance drains. */
function workingDay(simulation: Simulation): void {
	const [instance] = setUpSimulation(simulation, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [SimulatedInstance];
	simulation.run(8000);
	simulation.arrive(instance, promptArrival('r1', 'verdict'));
	simulation.arrive(instance, signOffArrival('r2', 'trench-12'));
	simulation.arrive(instance, signOffArrival('r3', 'trench-12'));
	simulation.arrive(instance, signOffArrival('r4', 'trench-12', {contentHash: 'other'}));
	simulation.arrive(instance, lookupArrival('r5'));
	simulation.arrive(instance, promptArrival('r6', 'no-such-model'));
	simulation.run(1000);
	simulation.arrive(instance, signOffArrival('r7', 'trench-12'));
	simulation.arrive(instance, promptArrival('r8', 'archive', {priority: 'batch'}));
	simulation.run(50);
	simulation.targets.get('engine-a')?.crash();
	simulation.run(1500);
	simulation.targets.get('engine-a')?.restart();
	simulation.run(4000);
	simulation.arrive(instance, signOffArrival('r9', 'trench-13'));
	simulation.dispatch(instance, {kind: 'drain-requested', nowMs: simulation.nowMs, reason: 'signal'});
	simulation.run(5000);
}

/** Two operators patch the same version at two instances; the response to the first write is lost after the write took effect. */
function twoOperators(simulation: Simulation): void {
	const [first, second] = setUpSimulation(simulation, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [SimulatedInstance, SimulatedInstance];
	simulation.run(1000);
	let writes = 0;
	simulation.table.fault = operation => {
		const isPatch = operation.kind === 'write' && operation.puts.some(({key}) => key.startsWith('config/patch/'));
		writes += isPatch ? 1 : 0;
		return isPatch && writes === 1 ? 'lost-after' : 'none';
	};

	const submit = (instance: SimulatedInstance, operationId: string, patch: Record<string, unknown>) => {
		simulation.dispatch(instance, {
			kind: 'patch-submitted',
			nowMs: simulation.nowMs,
			operationId,
			base: 1,
			patch,
			operator: operationId,
			wallMs: 0,
		});
	};

	submit(first, 'ana', {callers: {night: {priority: 'batch'}}});
	submit(second, 'boris', {callers: {day: {priority: 'urgent'}}});
	simulation.run(3000);
}

/** The platform becomes unavailable while sign-offs arrive, and recovers. */
function platformOutage(simulation: Simulation): void {
	const [instance] = setUpSimulation(simulation, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [SimulatedInstance];
	simulation.run(6000);
	simulation.arrive(instance, signOffArrival('r1', 'trench-1'));
	simulation.run(20);
	simulation.table.fault = () => 'unavailable';
	simulation.run(500);
	simulation.arrive(instance, signOffArrival('r2', 'trench-2', {deadlineMs: 2000}));
	simulation.arrive(instance, promptArrival('r3', 'verdict'));
	simulation.run(5000);
	simulation.table.fault = () => 'none';
	simulation.run(12_000);
	simulation.arrive(instance, signOffArrival('r4', 'trench-2'));
	simulation.arrive(instance, signOffArrival('r5', 'trench-1'));
	simulation.run(2000);
}

/**
The zones are partitioned from each other and zone `plovdiv` from the platform; a version
is accepted during the partition, which then heals.
*/
function zonesApart(simulation: Simulation): void {
	const [, second] = setUpSimulation(simulation, [['p1', 'plovdiv'], ['h1', 'haskovo']]) as [SimulatedInstance, SimulatedInstance];
	simulation.run(6000);
	const first = simulation.instances.get('p1') as SimulatedInstance;
	simulation.reaches = (from, to) => {
		const isFirst = from.id === 'p1';
		const isOwnTarget = to === 'engine-a' || to === 'records-a';
		return isFirst ? isOwnTarget : to === 'platform' || !(to === 'p1' || isOwnTarget);
	};

	simulation.run(1000);
	simulation.dispatch(second, {
		kind: 'patch-submitted',
		nowMs: simulation.nowMs,
		operationId: 'op',
		base: 1,
		patch: {callers: {night: {priority: 'batch'}}},
		operator: 'op',
		wallMs: 0,
	});
	simulation.arrive(first, promptArrival('r1', 'verdict', {deadlineMs: 4000}));
	simulation.arrive(first, lookupArrival('r2'));
	simulation.run(8000);
	simulation.reaches = () => true;
	simulation.run(3000);
}

export const sessions: Readonly<Record<string, SessionScript>> = {
	'a-working-day': workingDay,
	'two-operators': twoOperators,
	'platform-outage': platformOutage,
	'zones-apart': zonesApart,
};

/** Runs a session and returns the events and effects of instance `p1`, one JSON line for each event. */
export function recordSession(name: string): string {
	const lines: string[] = [];
	const recordEffects: SimulationOptions['record'] = (instance, event: Event, effects: readonly Effect[]) => {
		// Ticks without effects carry no information and are left out.
		if (instance.id === 'p1' && (event.kind !== 'tick' || effects.length > 0)) {
			lines.push(JSON.stringify({event, effects}));
		}
	};

	sessions[name]?.(new Simulation({seed: 11, record: recordEffects}));
	return `${lines.join('\n')}\n`;
}
