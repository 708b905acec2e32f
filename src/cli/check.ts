/**
`pollenarch check`: checks a configuration before it is sent. It reads files only, talks
to no daemon, and prints no key or token.
*/
import {readFileSync} from 'node:fs';
import {
	LineCounter, isMap, isNode, isSeq, parseDocument, type Document, type Node,
} from 'yaml';
import {formatPath, type Finding, type PathPart} from '../core/check/finding.js';
import {type ConfigurationForm} from './configuration-form.js';
import {exitCodes, type ExitCodeName} from './exit-codes.js';

const STANDARD_INPUT = '-';

export type CheckOptions = {
	/** Path of the document, `-` for standard input. */
	readonly file: string;
	/** Path of the version in force. */
	readonly against?: string;
	readonly forms: readonly ConfigurationForm[];
};

export type LocatedFinding = Omit<Finding, 'path'> & {
	readonly path: string;
	/** Line in the checked file, undefined for what is no longer in it. */
	readonly line: number | undefined;
};

export type CheckResult = {
	readonly findings: readonly LocatedFinding[];
	readonly exit: ExitCodeName;
};

type ParsedFile = {
	readonly document: Document;
	readonly content: unknown;
	readonly lines: LineCounter;
};

export function checkFile({file, against, forms}: CheckOptions): CheckResult {
	const parsed = parseFile(file);
	if (Array.isArray(parsed)) {
		return {findings: parsed, exit: 'rejected'};
	}

	const form = forms.find(({recognizes}) => recognizes(parsed.content));
	if (!form) {
		return {
			findings: [{
				kind: 'error', path: '', line: 1, message: `the document is none of: ${forms.map(({name}) => name).join(', ')}`,
			}],
			exit: 'rejected',
		};
	}

	const findings = [...form.check(parsed.content)];
	const isInvalid = findings.some(({kind}) => kind === 'error');
	if (against !== undefined && !isInvalid) {
		const inForce = parseFile(against);
		if (Array.isArray(inForce) || form.check(inForce.content).some(({kind}) => kind === 'error')) {
			return {
				findings: [{
					kind: 'error', path: '', line: undefined, message: `${against} is not a valid ${form.name}`,
				}],
				exit: 'usage',
			};
		}

		findings.push(...form.compare(inForce.content, parsed.content));
	}

	const located = findings.map(({path, ...finding}) => ({...finding, path: formatPath(path), line: lineOf(parsed, path)}));
	return {findings: located, exit: exitOf(findings)};
}

function exitOf(findings: readonly Finding[]): ExitCodeName {
	if (findings.some(({kind}) => kind === 'error')) {
		return 'rejected';
	}

	return findings.some(({kind}) => kind !== 'difference') ? 'findings' : 'done';
}

export function formatFinding({kind, path, line, message, effect}: LocatedFinding): string {
	return `${line === undefined ? '' : `line ${line}: `}${kind}: ${path === '' ? '' : `${path}: `}${message}${effect === undefined ? '' : ` (${effect})`}`;
}

export function exitCodeOf({exit}: CheckResult): number {
	return exitCodes[exit];
}

function parseFile(file: string): ParsedFile | LocatedFinding[] {
	const lines = new LineCounter();
	const document = parseDocument(readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8'), {lineCounter: lines, prettyErrors: false});
	if (document.errors.length > 0) {
		return document.errors.map(({message, pos: [start]}) => ({
			kind: 'error', path: '', line: lines.linePos(start).line, message,
		}));
	}

	return {document, content: document.toJS(), lines};
}

/** Line of the deepest part of a path that the file contains. */
function lineOf({document, lines}: ParsedFile, path: readonly PathPart[]): number | undefined {
	let node: unknown = document.contents;
	let line = lineOfNode(node, lines);
	for (const [depth, part] of path.entries()) {
		const next = memberOf(node, part);
		if (!next) {
			// An entry that is not there any more has no line.
			return depth < 2 ? undefined : line;
		}

		line = lineOfNode(next.key ?? next.value, lines) ?? line;
		node = next.value;
	}

	return line;
}

type Member = {
	readonly key?: unknown;
	readonly value: unknown;
};

function memberOf(node: unknown, part: PathPart): Member | undefined {
	const name = typeof part === 'object' ? part.named : part;
	if (isMap(node)) {
		return node.items.find(({key}) => String(key) === String(name));
	}

	if (!isSeq(node)) {
		return undefined;
	}

	const index = typeof part === 'object' ? node.items.findIndex(item => isMap(item) && item.get('name') === name) : Number(name);
	return node.items[index] === undefined ? undefined : {value: node.items[index]};
}

function lineOfNode(node: unknown, lines: LineCounter): number | undefined {
	const start = isNode(node) ? (node as Node).range?.[0] : undefined;
	return start === undefined ? undefined : lines.linePos(start).line;
}
