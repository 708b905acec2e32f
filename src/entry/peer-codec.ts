/**
What instances tell each other, as JSON. Maps travel as marked lists of pairs.
*/

const MAP_KEY = '$map';

export function encodePeerMessage(value: unknown): string {
	return JSON.stringify(value, (_key, member: unknown) => member instanceof Map ? {[MAP_KEY]: [...member as Map<unknown, unknown>]} : member);
}

export function decodePeerMessage<Value>(text: string): Value {
	return JSON.parse(text, (_key, member: unknown) => isEncodedMap(member) ? new Map(member[MAP_KEY]) : member) as Value;
}

function isEncodedMap(value: unknown): value is Record<typeof MAP_KEY, Array<[unknown, unknown]>> {
	return typeof value === 'object' && value !== null && MAP_KEY in value;
}
