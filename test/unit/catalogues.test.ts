/**
Checks that the documented tables of result codes and log events match the code, and
that the core stays free of I/O.
*/
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {logEvents, type LogEvent} from '../../src/core/log-events.js';
import {resultCodes} from '../../src/core/result-codes.js';

function readDocumentedRows(file: string): string[][] {
	return readFileSync(new URL(`../../docs/${file}`, import.meta.url), 'utf8')
		.split('\n')
		.filter(line => /^\| \d/v.test(line))
		.map(line => line.split('|').slice(1, -1).map(cell => cell.trim()));
}

test('docs/ERRORS.md lists exactly the result codes, each with advice', () => {
	const rows = readDocumentedRows('ERRORS.md');
	assert.deepEqual(
		rows.map(row => row.slice(0, 4)),
		Object.entries(resultCodes).map(([name, {number, status, title}]) => [String(number), name, String(status), title]),
	);
	assert.ok(rows.every(row => (row[4]?.length ?? 0) > 0));
});

test('docs/EVENTS.md lists exactly the log events, each with its meaning', () => {
	const rows = readDocumentedRows('EVENTS.md');
	assert.deepEqual(
		rows.map(row => row.slice(0, 3)),
		Object.entries<LogEvent>(logEvents).map(([name, {number, level, levelOfOthers}]) => [String(number), name, levelOfOthers === undefined ? level : `${level}, ${levelOfOthers}`]),
	);
	assert.ok(rows.every(row => (row[3]?.length ?? 0) > 0));
});

test('the numbers of each table are unique', () => {
	for (const table of [resultCodes, logEvents]) {
		const numbers = Object.values(table).map((row: {readonly number: number}) => row.number);
		assert.equal(new Set(numbers).size, numbers.length);
	}
});

const sourceDirectory = new URL('../../src/', import.meta.url);

function readSources(directory = sourceDirectory): Array<{name: string; text: string}> {
	return readdirSync(directory, {recursive: true, encoding: 'utf8'})
		.filter(name => name.endsWith('.ts') && !name.includes('/gen/'))
		.map(name => ({name, text: readFileSync(new URL(name, directory), 'utf8')}));
}

test('every result code and log event is used in the source', () => {
	const text = [...readSources(), ...readSources(new URL('../../platform/', import.meta.url))]
		.filter(({name}) => !name.endsWith('result-codes.ts') && !name.endsWith('log-events.ts'))
		.map(source => source.text)
		.join('\n');
	for (const name of [...Object.keys(resultCodes), ...Object.keys(logEvents)]) {
		assert.ok(text.includes(`'${name}'`), `${name} is not used`);
	}
});

test('the core imports neither the daemon nor I/O modules', () => {
	for (const {name, text} of readSources().filter(source => source.name.startsWith('core/') && !source.name.endsWith('.test.ts'))) {
		assert.ok(!/from '(?:node:|\.\.\/\.\.\/daemon|\.\.\/daemon|undici|fastify)/v.test(text), `${name} imports the daemon or an I/O module`);
	}
});
