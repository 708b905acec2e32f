/**
What instances tell each other, as JSON. Maps travel as marked lists of pairs.
*/

const MAP_MEMBER = '$map';

export function encodePeer(value: unknown): string {
	return JSON.stringify(value, (_key, member: unknown) => member instanceof Map ? {[MAP_MEMBER]: [...member as Map<unknown, unknown>]} : member);
}

export function decodePeer<Value>(text: string): Value {
	return JSON.parse(text, (_key, member: unknown) => isMarked(member) ? new Map(member[MAP_MEMBER]) : member) as Value;
}

function isMarked(value: unknown): value is Record<typeof MAP_MEMBER, Array<[unknown, unknown]>> {
	return typeof value === 'object' && value !== null && MAP_MEMBER in value;
}
