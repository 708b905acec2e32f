/**
The report of a soak: a table of promises, counts of what was seen, the timeline of faults,
and for each finding the trace of its request with the log lines that name it.
*/
import {type Finding} from './judges.js';
import {longest} from './lateness.js';
import {groupBy} from './record.js';
import {type SoakResult} from './soak.js';

const TRACED_MAX = 20;
const LINES_MAX = 40;

type TraceLine = {readonly atMs: number; readonly text: string};

function countBy(values: ReadonlyArray<string | number>): string {
	const counts = groupBy(values, String);
	return [...counts].toSorted(([one], [other]) => one.localeCompare(other)).map(([value, list]) => `${value}: ${list.length}`).join(', ');
}

/** What callers and targets saw of a request, and what instances logged of it, in the order of time. */
function trace({record, lines}: SoakResult, ids: readonly string[]): TraceLine[] {
	const seen = [
		...record.attempts.filter(({id}) => ids.includes(id)).flatMap(attempt => [
			{atMs: attempt.sentAtMs, text: `caller ${attempt.caller} sends ${attempt.key} (id ${attempt.id}, ${attempt.kind}) to ${attempt.instance} over a ${attempt.isKeptConnection ? 'kept' : 'new'} connection`},
			{atMs: attempt.endedAtMs, text: `caller ${attempt.caller} gets ${attempt.status ?? 'nothing'} for ${attempt.key} (${attempt.isWhole ? 'whole' : 'not whole'}${attempt.hasLeft ? ', left' : ''}${attempt.error && `, ${attempt.error}`}${attempt.signature ? `, signed ${attempt.signature}` : ''})`},
		]),
		...record.arrivals.filter(({id}) => ids.includes(id)).flatMap(({atMs, ranAtMs, key, target, connection, status}) => [
			{atMs, text: `${key} arrives at ${target} on connection ${connection}${ranAtMs === undefined ? `, answered ${status ?? 'nothing'}` : ''}`},
			...(ranAtMs === undefined ? [] : [{atMs: ranAtMs, text: `${target} runs ${key}, answered ${status ?? 'nothing'}`}]),
		]),
		...record.copies.filter(({id, aheadOf}) => ids.includes(id) || record.attempts.some(attempt => attempt.key === aheadOf && ids.includes(attempt.id))).map(({atMs, target, connection, id, aheadOf}) => ({atMs, text: `${target} writes the refusal of ${id} once more on connection ${connection}${aheadOf ? ` while ${aheadOf} is under way` : ''}`})),
	];
	const logged = [...lines].flatMap(([name, texts]) => texts.filter(text => ids.some(id => text.includes(`"${id}"`))).slice(0, LINES_MAX).map(text => ({atMs: timeOf(text) - record.startedAt, text: `log of ${name}: ${text}`})));
	return [...seen, ...logged].toSorted((one, other) => one.atMs - other.atMs);
}

function timeOf(line: string): number {
	try {
		const {time} = JSON.parse(line) as {time: number | string};
		return typeof time === 'number' ? time : Date.parse(time);
	} catch {
		return Number.NaN;
	}
}

function write({atMs, text}: TraceLine): string {
	return `${(atMs / 1000).toFixed(3).padStart(9)} s  ${text}`;
}

function describe(result: SoakResult, finding: Finding): string[] {
	return [`- ${finding.text}`, '', ...(finding.ids.length === 0 ? [] : ['```', ...trace(result, finding.ids).map(line => write(line)), '```', ''])];
}

export function createReport(result: SoakResult): string {
	const {options: {seed, seconds, instances}, record, findings, faults, judges, notes} = result;
	const {attempts, arrivals, copies} = record;
	const ownId = copies.filter(({id, aheadOf}) => attempts.some(({key, id: underWay}) => key === aheadOf && id === underWay)).length;
	return [
		`# Soak with seed ${seed}, ${seconds} s, ${instances} instances`,
		'',
		'| promise | looked at | broken | |',
		'| --- | --- | --- | --- |',
		...Object.entries(judges).map(([name, {promise, count}]) => `| ${name} | ${count(record)} | ${findings[name]!.length} | ${promise} |`),
		'',
		`Attempts: ${attempts.length}; ${countBy(attempts.map(({status, isWhole, hasLeft, error}) => hasLeft ? 'left' : (status === undefined ? (error || 'closed') : `${status}${isWhole ? '' : ' cut'}`)))}.`,
		`Arrivals at targets: ${arrivals.length}, of which ${arrivals.filter(({ranAtMs}) => ranAtMs !== undefined).length} ran.`,
		`Refusals written once more: ${copies.length}, ${copies.filter(({aheadOf}) => aheadOf !== undefined).length} of them while a request was under way on the connection, ${ownId} while the same id was.`,
		`The soak's own process was at most ${longest(record.lateness)} ms late.`,
		...notes,
		`Faults: ${countBy(faults.map(({kind}) => kind))}.`,
		'',
		...Object.entries(findings).flatMap(([name, list]) => list.length === 0 ? [] : [`## ${name}`, '', ...list.slice(0, TRACED_MAX).flatMap(finding => describe(result, finding))]),
		'## Timeline of faults',
		'',
		'```',
		...record.faults.map(({atMs, subject, what}) => write({atMs, text: `${subject}: ${what}`})),
		'```',
		'',
	].join('\n');
}
