const configuration = {
	import: ['test/features/steps/*.ts'],
	paths: ['test/features/*.feature'],
	format: ['progress'],
};

export default configuration;
