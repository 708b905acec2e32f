/**
Collects the log records of one request from the logs of any number of instances and formats
them in order of time, with the decisions and the values that they were based on.
*/

/** Members left out of the details: every record has them, or a column of its own shows them. */
const omittedMembers: ReadonlySet<string> = new Set(['level', 'time', 'pid', 'hostname', 'instance', 'event', 'msg', 'requestId']);

export type Story = {
	readonly lines: readonly string[];
	/** Number of lines that contain the start of a JSON object but are not valid log records. */
	readonly unreadable: number;
};

type LogRecord = Readonly<Record<string, unknown>> & {
	readonly time: number;
	readonly msg: string;
};

/** Finds the records of a request in concatenated logs. A log collector may have put a prefix before the JSON of a line. */
export function createStory(text: string, requestId: string): Story {
	let unreadable = 0;
	const matches: LogRecord[] = [];
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		if (start === -1) {
			continue;
		}

		const record = parseLogRecord(line.slice(start));
		if (!record) {
			unreadable++;
		} else if (record.requestId === requestId) {
			matches.push(record);
		}
	}

	const sorted = matches.toSorted((a, b) => a.time - b.time);
	const startMs = sorted[0]?.time ?? 0;
	return {lines: sorted.map(record => formatRecord(record, startMs)), unreadable};
}

function parseLogRecord(text: string): LogRecord | undefined {
	try {
		const record = JSON.parse(text) as Record<string, unknown>;
		return typeof record.time === 'number' && typeof record.msg === 'string' ? record as LogRecord : undefined;
	} catch {
		// The calling function counts the line, and the count is printed.
		return undefined;
	}
}

function formatRecord(record: LogRecord, startMs: number): string {
	const details = Object.entries(record)
		.filter(([name]) => !omittedMembers.has(name))
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [`+${record.time - startMs} ms`.padStart(10), (typeof record.instance === 'string' ? record.instance : '').padEnd(20), record.msg.padEnd(18), details.join(' ')].join('  ');
}
