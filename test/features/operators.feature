Feature: Operators drive the system by patches

  Background:
    Given a running deployment with two zones

  Scenario: Two operators patch the same version at two instances
    When two operators submit different patches against the version in force
    Then exactly one of them is accepted and the other gets the version in force
    And the accepted version is in force at every instance

  Scenario: A patch that does not fit is rejected with the numbers
    When a patch adds models beyond the accelerator memory
    Then it is rejected with "PA-2003" and the numbers
    And the version in force has not changed

  Scenario: Every mistake of a patch is listed with its path
    When a patch has two mistakes
    Then it is rejected with "PA-2002" and both paths

  Scenario: A new instance starts while the platform is down
    Given the platform is down
    When a new instance starts
    Then it has the version in force from its peers

  Scenario: The command line shows and changes the system
    When the operator runs status, models, targets, instances, moves, history, diff and dump
    Then each prints what it should and exits with 0
    And a patch against an old version exits with 3
