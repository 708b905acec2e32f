/**
The story of one request, from collected logs of any number of instances: every line
that names it, in order of time, with the decisions and what they rested on.
*/

/** Members that every line has, or that the first columns show. */
const commonMembers: ReadonlySet<string> = new Set(['level', 'time', 'pid', 'hostname', 'instance', 'event', 'msg', 'requestId']);

export type Story = {
	readonly lines: readonly string[];
	/** Lines that begin like a log line and could not be read. */
	readonly unreadable: number;
};

type LogLine = Readonly<Record<string, unknown>> & {
	readonly time: number;
	readonly msg: string;
};

/** Tells the story of a request from the text of logs. Lines may carry a prefix of the collector's before their JSON. */
export function tellStory(text: string, requestId: string): Story {
	let unreadable = 0;
	const found: LogLine[] = [];
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		if (start === -1) {
			continue;
		}

		const record = read(line.slice(start));
		if (!record) {
			unreadable++;
		} else if (record.requestId === requestId) {
			found.push(record);
		}
	}

	const ordered = found.toSorted((a, b) => a.time - b.time);
	const firstMs = ordered[0]?.time ?? 0;
	return {lines: ordered.map(record => format(record, firstMs)), unreadable};
}

function read(text: string): LogLine | undefined {
	try {
		const record = JSON.parse(text) as Record<string, unknown>;
		return typeof record.time === 'number' && typeof record.msg === 'string' ? record as LogLine : undefined;
	} catch {
		// Counted by the caller and named to the reader.
		return undefined;
	}
}

function format(record: LogLine, firstMs: number): string {
	const details = Object.entries(record)
		.filter(([name]) => !commonMembers.has(name))
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [`+${record.time - firstMs} ms`.padStart(10), (typeof record.instance === 'string' ? record.instance : '').padEnd(20), record.msg.padEnd(18), details.join(' ')].join('  ');
}
