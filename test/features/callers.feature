Feature: Callers are served end to end

  Background:
    Given a running deployment with two zones

  Scenario: The OpenAI client works unchanged
    When the OpenAI client asks for a whole answer
    And the OpenAI client asks for a streamed answer
    Then both answers are the engine's own words

  Scenario: Two sign-offs with one key at two instances run once
    When one sign-off is sent to two instances at the same time
    Then both callers get the same answer
    And the service has one entry for it

  Scenario: A sign-off that outlasts its deadline is still recorded
    Given the service takes 800 ms
    When a sign-off is sent with 300 ms to its deadline
    Then its outcome is unknown to the caller at once
    And a repeat gets the recorded answer of the one run
    And no instance keeps anything of them

  Scenario: A large recorded answer is replayed from the object store
    Given the service gives large answers
    When one sign-off is sent to two instances, one after the other
    Then both callers get the same answer
    And the service has one entry for it

  Scenario: A broken sign-off is not sent again
    Given the service breaks connections after it made an entry
    When one sign-off is sent to two instances, one after the other
    Then both answers have an unknown outcome
    And the service has one entry for it

  Scenario: A stream that breaks is carried on without a seam
    Given the engines break the next stream in the middle
    When the OpenAI client asks for a streamed answer
    Then the streamed answer is the engine's own words

  Scenario: A stream that goes silent is carried on without a seam
    Given the engines go silent in the next stream
    When the OpenAI client asks for a streamed answer
    Then the streamed answer is the engine's own words

  Scenario: The platform is out of reach
    Given the platform is down
    When a model is asked and a sign-off is sent with 600 ms to its deadline
    Then the model answers
    And the sign-off is refused with "PA-1201" as not run
    When the platform is back
    Then the same sign-off runs once

  Scenario: A drain cuts nothing off
    When an instance drains while it streams and signs off
    Then the stream and the sign-off come whole
    And the instance stops

  Scenario: Mistakes have their own codes and run nothing
    When requests are sent with these mistakes
      | bad JSON             | PA-1001 |
      | too large a body     | PA-1002 |
      | an unknown model     | PA-1003 |
      | an unknown service   | PA-1004 |
      | no key               | PA-1005 |
      | a reused key         | PA-1006 |
      | a bad deadline       | PA-1007 |
      | a bad priority       | PA-1007 |
      | a passed deadline    | PA-1008 |
      | an unknown token     | PA-1009 |
      | an unknown path      | PA-1010 |
      | no model             | PA-1011 |
    Then each is refused with its code as not run
