/**
Hashing of API keys. Keys are random and long, so that a plain SHA-256 hides them.
*/
import {createHash} from 'node:crypto';

export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('base64url');
}
