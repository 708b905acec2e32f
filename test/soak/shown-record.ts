/**
The log of a fleet as the users' records of a failure show it: a section for each instance in the order of the names, first
the lines that name the request, then warnings and changes, with the ends of lines, sections and the whole cut off.
*/

export type ShownLimits = {
	readonly lineBytes?: number;
	readonly linesPerInstance?: number;
	readonly lines?: number;
};

const WARN_LEVEL = 40;
const WORDS = /refused|failed|unknown/v;
/** Of routine lines of these events, only those with a failed try count as changes. */
const ROUTINE = /"event":204,/v;
const FAILED_TRY = /:failed/v;

function levelOf(line: string): number {
	return Number(/"level":(?<level>\d+)/v.exec(line)?.groups?.level ?? 0);
}

function isChange(line: string): boolean {
	return levelOf(line) >= WARN_LEVEL || (line.includes('"event":204,') ? line.includes(':failed') : WORDS.test(line));
}

/** `logs`: the lines of each instance, by its name. */
export function showRecord(logs: ReadonlyMap<string, readonly string[]>, requestId: string, {lineBytes = 200, linesPerInstance = 6, lines: linesMax = 40}: ShownLimits = {}): readonly string[] {
	const shown: string[] = [];
	for (const [name, lines] of [...logs].toSorted(([one], [other]) => one < other ? -1 : 1)) {
		const naming = lines.filter(line => line.includes(`"${requestId}"`));
		const changes = lines.filter(line => !naming.includes(line) && isChange(line));
		const section = [...naming, ...changes].slice(0, linesPerInstance);
		if (section.length > 0) {
			shown.push(`${name}:`, ...section.map(line => line.slice(0, lineBytes)));
		}
	}

	return shown.slice(0, linesMax);
}
