Feature: Replaying a recorded session yields the same effects

  A golden file records a whole session of one instance: the events that its reducer
  handled and the effects that it returned. A change in behaviour shows as a difference
  in the file, which "npm run golden" regenerates.

  Scenario Outline: <session>
    Given the golden session "<session>"
    When its events are replayed through the reducer on a new state
    Then every event yields the recorded effects, byte for byte
    And running the session's script again reproduces the file

    Examples:
      | session                |
      | a-working-day          |
      | two-operators          |
      | platform-outage        |
      | zones-apart            |
