Feature: Operators inspect the system and patch its configuration

  Background:
    Given a running deployment with two zones

  Scenario: Two operators patch the same version at two instances
    When two operators submit different patches against the current version
    Then exactly one patch is accepted and the other is rejected with the current version
    And every instance adopts the accepted version

  Scenario: A patch that exceeds the accelerator memory is rejected with the sizes
    When a patch adds models that exceed the accelerator memory
    Then it is rejected with "PA-2003" and the sizes
    And the current version has not changed

  Scenario: Every error of a patch is listed with its path
    When a patch with two errors is submitted
    Then it is rejected with "PA-2002" and both paths

  Scenario: A new instance starts while the platform is unavailable
    Given the platform is unavailable
    When a new instance starts
    Then it gets the current version from its peers

  Scenario: The command-line client inspects the system and submits patches
    When the operator runs status, models, targets, instances, moves, history, diff and dump
    Then each command prints the expected output and exits with code 0
    And a patch against an outdated version exits with code 3
