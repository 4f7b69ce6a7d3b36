Feature: On the users' platform
  An entry passes callers' requests on to targets as they are.

  Scenario: Work that may run once runs once, whatever becomes of its answer
    Given a platform with 1 entries
    And every target of "plain" runs the next request and loses its answer
    When a caller asks for "/once/a"
    Then the caller is told that the outcome is unknown
    And the request ran 1 times

  Scenario: Not run is true, and says when to come back
    Given a platform with 1 entries
    And every target of "plain" is full
    When a caller asks for "/once/a"
    Then the caller is told that it has not run and when to come back
    And the request ran 0 times

  Scenario: A broken stream goes on at another target
    Given a platform with 1 entries
    And target "eng-0" breaks off its next 5 streams
    When a caller asks for "/events/a" 5 times
    Then every stream has each event once, in order

  Scenario: An entry that the store turns away learns of a lost key from its peer
    Given a platform with 2 entries
    And the store turns entry 1 away
    When the operators take the callers' key away
    Then entry 1 refuses the key within 5 seconds

  Scenario: Stages are made in batches and their results given up
    Given a platform with 2 entries
    When 8 callers ask for "/staged/a" with 2 and 3 pieces at once
    Then every stream has each event once, in order
    And stage calls held more than one piece on average
    And no result is left
