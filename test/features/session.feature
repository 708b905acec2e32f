Feature: Recorded sessions replay to the same effects

  A golden file holds a whole session: every event that a decision core took in,
  and the effects that it gave back. A change of behaviour shows as a change of
  the file, which is renewed with "npm run golden".

  Scenario Outline: <session>
    Given the golden session "<session>"
    When its events are replayed through a new core
    Then every event has the recorded effects, byte for byte
    And running the session's script again gives the same file

    Examples:
      | session                |
      | a-working-day          |
      | two-operators          |
      | platform-outage        |
      | zones-apart            |
