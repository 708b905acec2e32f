import {type FlatXoConfig} from 'xo';

const configuration: FlatXoConfig = [
	{ignores: ['dist/**', 'src/daemon/peer/gen/**', 'test/golden/**']},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			// Left and Right are the constructors of purify-ts and are called without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['Left', 'Right', 'Just', 'Given', 'When', 'Then', 'Before', 'After']}],
			// The reducer owns its state and updates it in place, so that the cost of an event is constant.
			'no-param-reassign': 'off',
			// A stop has an order, and a drain waits for one thing after the other.
			'no-await-in-loop': 'off',
			// Wire field names of other systems keep their own case.
			camelcase: 'off',
			'@typescript-eslint/naming-convention': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-null': 'off',
			// The public constructor or factory stands first, with the members that it fills before it.
			'@typescript-eslint/member-ordering': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'@typescript-eslint/no-restricted-types': 'off',
			'capitalized-comments': 'off',
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', package: 'node:test', name: ['test', 'describe', 'it']}]}],
			'max-params': ['error', 5],
			complexity: ['error', 20],
		},
	},
];

export default configuration;
